package settings

// Platform holds the connection settings of the platform's table and object store.
type Platform struct {
	// TableEndpoint and ObjectEndpoint are base URLs of the DynamoDB and S3 APIs.
	TableEndpoint  string `json:"table_endpoint"`
	Table          string `json:"table"`
	ObjectEndpoint string `json:"object_endpoint"`
	Bucket         string `json:"bucket"`
	Region         string `json:"region"`
	// CredentialsFile is a JSON file with access_key_id and secret_access_key.
	CredentialsFile string `json:"credentials_file"`
	// RequestTimeout limits one request to the platform, 100ms to 1m.
	RequestTimeout Duration `json:"request_timeout"`
}
