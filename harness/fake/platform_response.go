package fake

import (
	"encoding/json"
	"encoding/xml"
	"net/http"
	"strings"
)

const (
	dynamoContentType = "application/x-amz-json-1.0"
	dynamoErrorPrefix = "com.amazonaws.dynamodb.v20120810#"
	targetPrefix      = "DynamoDB_20120810."
)

func operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

func isDynamoDB(r *http.Request) bool { return r.Header.Get("X-Amz-Target") != "" }

func isWrite(r *http.Request) bool {
	if !isDynamoDB(r) {
		return r.Method == http.MethodPut
	}
	switch operation(r) {
	case "GetItem", "Query":
		return false
	}
	return true
}

func jsonResponse(status int, value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types that this package encodes can always be marshaled
	}
	return response{status: status, header: http.Header{"Content-Type": {dynamoContentType}}, body: body}
}

// errorResponse returns an error in the format of the API that the request uses: JSON for
// DynamoDB, XML for S3.
func errorResponse(r *http.Request, status int, code, message string) response {
	if isDynamoDB(r) {
		return jsonResponse(status, map[string]string{"__type": dynamoErrorPrefix + code, "message": message})
	}
	body, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: message})
	if err != nil {
		panic(err)
	}
	return response{status: status, header: http.Header{"Content-Type": {"application/xml"}}, body: body}
}

func throttledResponse(r *http.Request) response {
	if isDynamoDB(r) {
		return errorResponse(r, http.StatusBadRequest, "ProvisionedThroughputExceededException", "the rate limit is reached")
	}
	return errorResponse(r, http.StatusServiceUnavailable, "SlowDown", "the rate limit is reached")
}
