package proxy

import (
	"strconv"
	"strings"
)

// formatLoad returns the value of HeaderLoad: "<running>,<queued>,<slots>".
func formatLoad(running, queued, slots int) string {
	return strconv.Itoa(running) + "," + strconv.Itoa(queued) + "," + strconv.Itoa(slots)
}

// parseLoad parses the value of HeaderLoad; it returns nil if it is empty or malformed.
func parseLoad(text string) *Load {
	running, rest, ok := strings.Cut(text, ",")
	queued, slots, ok2 := strings.Cut(rest, ",")
	if !ok || !ok2 {
		return nil
	}
	var l Load
	var err error
	if l.Running, err = strconv.Atoi(running); err != nil {
		return nil
	}
	if l.Queued, err = strconv.Atoi(queued); err != nil {
		return nil
	}
	if l.Slots, err = strconv.Atoi(slots); err != nil {
		return nil
	}
	return &l
}
