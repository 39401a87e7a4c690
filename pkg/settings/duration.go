package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as "10s".
type Duration time.Duration

// UnmarshalJSON parses a string with a unit. A number is rejected because its unit would
// be ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf(`%s is not a duration; write a string with a unit, such as "10s" or "500ms"`, data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf(`%q is not a duration; write a number with a unit, such as "10s" or "500ms"`, text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON returns the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
