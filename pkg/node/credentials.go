package node

import (
	"encoding/json"
	"os"

	"github.com/samber/oops"
)

// credentials are the access keys for the platform. They are read from
// platform.credentials_file.
type credentials struct {
	AccessKeyID     string `json:"access_key_id"`
	SecretAccessKey string `json:"secret_access_key"`
}

func readCredentials(path string) (credentials, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return credentials{}, oops.In("node").Code("credentials-unreadable").
			Hint("correct platform.credentials_file in the settings").Wrapf(err, "read platform credentials")
	}
	var c credentials
	if err := json.Unmarshal(data, &c); err != nil || c.AccessKeyID == "" || c.SecretAccessKey == "" {
		return credentials{}, oops.In("node").Code("credentials-invalid").
			Errorf("platform.credentials_file: %q lacks access_key_id or secret_access_key; write both as strings in one JSON object", path)
	}
	return c, nil
}
