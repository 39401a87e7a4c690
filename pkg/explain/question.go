package explain

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/samber/oops"
)

// Question describes the request to explain.
type Question struct {
	// Method of the request. Routes do not depend on it.
	Method string
	// Path of the request with its escapes.
	Path string
	// Host may be empty if the configuration has a single one.
	Host string
	// Account is the name of the account whose key the request has; empty for a request without one.
	Account   string
	BodyBytes int
	// Nested means that the local server sends the request while it runs another one.
	Nested bool
}

// Names of the parameters of GET /explain.
const (
	paramMethod  = "method"
	paramPath    = "path"
	paramHost    = "host"
	paramAccount = "account"
	paramSize    = "size"
	paramNested  = "nested"
)

// parametersHint names the parameters. Errors do not repeat what the client has sent.
const parametersHint = "use path, and optionally method, host, account, size and nested, each once"

// ParseQuestion returns the question in the query of GET /explain. The hint of an error names the
// remedy.
func ParseQuestion(query string) (Question, error) {
	q := Question{Method: http.MethodGet}
	values, err := url.ParseQuery(query)
	if err != nil {
		return q, oops.Hint(parametersHint).Errorf("the query is malformed")
	}
	for name, all := range values {
		if len(all) != 1 {
			return q, oops.Hint(parametersHint).Errorf("a parameter is repeated")
		}
		value := all[0]
		switch name {
		case paramMethod:
			q.Method = value
		case paramPath:
			q.Path = value
		case paramHost:
			q.Host = value
		case paramAccount:
			q.Account = value
		case paramSize:
			size, err := strconv.Atoi(value)
			if err != nil || size < 0 {
				return q, oops.Hint("give the number of bytes of the body, such as size=2048").Errorf("the parameter size is not a number of bytes")
			}
			q.BodyBytes = size
		case paramNested:
			nested, err := strconv.ParseBool(value)
			if err != nil {
				return q, oops.Hint("use nested=true for a call that a server makes").Errorf("the parameter nested is neither true nor false")
			}
			q.Nested = nested
		default:
			return q, oops.Hint(parametersHint).Errorf("a parameter is unknown")
		}
	}
	if q.Path == "" || q.Path[0] != '/' {
		return q, oops.Hint("give the path of the request, such as path=/orders/1").Errorf("the parameter path is missing or does not begin with a slash")
	}
	return q, nil
}

// Values returns the parameters of the question.
func (q Question) Values() url.Values {
	v := url.Values{paramMethod: {q.Method}, paramPath: {q.Path}}
	if q.Host != "" {
		v.Set(paramHost, q.Host)
	}
	if q.Account != "" {
		v.Set(paramAccount, q.Account)
	}
	if q.BodyBytes > 0 {
		v.Set(paramSize, strconv.Itoa(q.BodyBytes))
	}
	if q.Nested {
		v.Set(paramNested, strconv.FormatBool(true))
	}
	return v
}
