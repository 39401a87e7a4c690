package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// ParseSection parses one section from strict JSON: unknown and duplicate keys,
// trailing data and invalid UTF-8 are errors. Defaults are filled in and the result is
// in canonical order. Errors are Problems. The result still needs Check.
func ParseSection(data []byte) (Section, error) {
	if len(data) > MaxSectionBytes {
		return Section{}, Problem{
			Message: fmt.Sprintf("the section has %d bytes", len(data)),
			Remedy:  fmt.Sprintf("split it into sections of at most %d bytes", MaxSectionBytes),
		}
	}
	if !utf8.Valid(data) {
		return Section{}, Problem{Message: "the section is not valid UTF-8", Remedy: "save it as UTF-8"}
	}
	if err := checkKeys(data); err != nil {
		return Section{}, err
	}
	var raw struct {
		Name     string            `json:"name"`
		Team     string            `json:"team"`
		Services []json.RawMessage `json:"services"`
		Routes   []Route           `json:"routes"`
	}
	if err := decodeStrict(data, &raw); err != nil {
		return Section{}, syntaxProblem(raw.Name, "", err)
	}
	s := Section{Name: raw.Name, Team: raw.Team, Routes: raw.Routes}
	for i, data := range raw.Services {
		service, err := parseService(data)
		if err != nil {
			return Section{}, syntaxProblem(raw.Name, fmt.Sprintf("services[%d]", i), err)
		}
		s.Services = append(s.Services, service)
	}
	return canonical(s), nil
}

// parseService reads one service. The defaults of attempt_timeout_ms and slow_ms depend on timeout_ms, which is
// known only after a first decoding; the second one keeps them where the service states no number.
func parseService(data []byte) (Service, error) {
	service := defaultService()
	if err := decodeStrict(data, &service); err != nil {
		return Service{}, err
	}
	timeout := service.TimeoutMS
	service = defaultService()
	service.AttemptTimeoutMS = max(timeout/attemptTimeoutDivisor, 1)
	service.SlowMS = max(timeout/slowDivisor, 1)
	return service, decodeStrict(data, &service)
}

func defaultService() Service {
	return Service{
		Limits:    Limits{Slots: DefaultSlots, Connections: DefaultConnections, Queue: DefaultQueue},
		Retry:     Retry{Ratio: DefaultRetryRatio, Cap: DefaultRetryCap, BaseMS: DefaultRetryBaseMS, MaxWaitMS: DefaultRetryMaxMS},
		TimeoutMS: DefaultTimeoutMS,
	}
}

func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the section")
	}
	return nil
}

func syntaxProblem(section, field string, err error) Problem {
	p := Problem{Section: section, Field: field, Remedy: "correct the JSON"}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		p.Field = strings.Trim(field+"."+wrongType.Field, ".")
		p.Message = fmt.Sprintf("a JSON %s cannot be a %s", wrongType.Value, wrongType.Type)
		return p
	}
	p.Message = strings.TrimPrefix(err.Error(), "json: ")
	if strings.HasPrefix(p.Message, "unknown field") {
		p.Remedy = "remove the field or correct its name"
	}
	return p
}

// checkKeys rejects duplicate keys, of which encoding/json would keep the last, and
// keys that differ from the field name in case, which encoding/json would accept.
func checkKeys(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	type frame struct {
		object, wantValue bool
		keys              map[string]bool
	}
	var stack []frame
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return syntaxProblem("", "", err)
		}
		top := len(stack) - 1
		if key, ok := token.(string); ok && top >= 0 && stack[top].object && !stack[top].wantValue {
			if stack[top].keys[key] {
				return Problem{Field: key, Message: "the key occurs twice in one object", Remedy: "keep one of them"}
			}
			if !isLowerASCII(key) {
				return Problem{Field: key, Message: "the key is unknown", Remedy: "write keys in lower case"}
			}
			stack[top].keys[key] = true
			stack[top].wantValue = true
			continue
		}
		if delim, ok := token.(json.Delim); ok && (delim == '}' || delim == ']') {
			stack = stack[:top]
			continue
		}
		if top >= 0 {
			stack[top].wantValue = false
		}
		if delim, ok := token.(json.Delim); ok {
			if len(stack) == maxJSONDepth {
				return Problem{Message: "the JSON is nested too deep", Remedy: "correct the JSON"}
			}
			stack = append(stack, frame{object: delim == '{', keys: map[string]bool{}})
		}
	}
}

func isLowerASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf || 'A' <= s[i] && s[i] <= 'Z' {
			return false
		}
	}
	return true
}
