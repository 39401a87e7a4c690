package proxy

import "bufio"

// requestWriter wraps a bufio.Writer for http.Request.Write and hides its ReadFrom method.
// ReadFrom would call the body's Read from within the writer, and that Read flushes the
// writer.
type requestWriter struct{ bw *bufio.Writer }

func (w requestWriter) Write(p []byte) (int, error)       { return w.bw.Write(p) }
func (w requestWriter) WriteByte(b byte) error            { return w.bw.WriteByte(b) }
func (w requestWriter) WriteString(s string) (int, error) { return w.bw.WriteString(s) }
