package proxy

import "sync"

// copyBuffers pools the buffers through which streamed bodies are copied.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

func getCopyBuffer() *[]byte  { return copyBuffers.Get().(*[]byte) }
func putCopyBuffer(b *[]byte) { copyBuffers.Put(b) }
