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

func jsonAnswer(status int, value any) answer {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // all answers are of types of this package
	}
	return answer{status: status, header: http.Header{"Content-Type": {dynamoContentType}}, body: body}
}

// failure returns an error in the form of the API that the request uses.
func failure(r *http.Request, status int, code, message string) answer {
	if isDynamoDB(r) {
		return jsonAnswer(status, map[string]string{"__type": dynamoErrorPrefix + code, "message": message})
	}
	body, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: message})
	if err != nil {
		panic(err)
	}
	return answer{status: status, header: http.Header{"Content-Type": {"application/xml"}}, body: body}
}

func throttled(r *http.Request) answer {
	if isDynamoDB(r) {
		return failure(r, http.StatusBadRequest, "ProvisionedThroughputExceededException", "the rate limit is reached")
	}
	return failure(r, http.StatusServiceUnavailable, "SlowDown", "the rate limit is reached")
}
