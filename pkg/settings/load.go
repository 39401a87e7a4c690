package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"github.com/samber/oops"
)

// CodeInvalid is the oops code of all errors in the content of the settings.
const CodeInvalid = "settings-invalid"

// Load reads and checks the settings file. Errors name the field and the remedy.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("settings").Code("settings-unreadable").
			Hint("set the path of a readable settings file with --settings").Wrapf(err, "read settings")
	}
	return Parse(data)
}

// Parse parses and checks settings. Unknown fields, wrong types or units, and
// inconsistent values are errors.
func Parse(data []byte) (Settings, error) {
	s := defaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, parseError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, invalid("settings", "text follows the settings object", "keep one JSON object in the file")
	}
	return s, check(s)
}

func defaults() Settings {
	return Settings{
		Moves:        Moves{FalseAlarmRate: defaultFalseAlarmRate},
		DrainTimeout: Duration(defaultDrainTimeout),
		Platform:     Platform{RequestTimeout: Duration(defaultRequestTimeout)},
	}
}

func parseError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return invalid(typeError.Field, "the value is a "+typeError.Value, "write a "+typeError.Type.String())
	}
	return oops.In("settings").Code(CodeInvalid).
		Errorf("settings: %w; see docs/settings.md for the fields and their units", err)
}

func invalid(field, message, remedy string) error {
	return oops.In("settings").Code(CodeInvalid).With("field", field).
		Errorf("settings: %s: %s; %s", field, message, remedy)
}

// Default values of the settings.
const (
	defaultFalseAlarmRate = 0.001
	defaultDrainTimeout   = 30 * time.Second
	defaultRequestTimeout = 2 * time.Second
)
