package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// table is the tabular form of a response.
type table struct {
	header []string
	rows   [][]string
	footer []string // lines below the rows
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// write prints value as JSON or prints the table, depending on the --output flag.
func (c *connection) write(w io.Writer, value any, t table) error {
	if c.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	const padding = 2
	writer := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, line := range t.footer {
		fmt.Fprintln(w, line)
	}
	return nil
}
