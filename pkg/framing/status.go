package framing

import (
	"fmt"
	"net/http"
)

// InvalidStatusError is the error of a response whose status or version HTTP/1 doesn't have. Such a
// response tells nothing about the request.
type InvalidStatusError struct {
	// Status is the status code with its reason phrase, Proto the version, as they were received.
	Status, Proto string
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has status %.40q and version %.20q, which HTTP/1 doesn't have", e.Status, e.Proto)
}

// IsFinalStatus reports whether a final response may have the status.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// CheckFinal returns an *InvalidStatusError or an *InvalidHeadError if a final response that a client of
// net/http has received has a status, version or field that HTTP/1 doesn't have. net/http accepts any version,
// codes such as 000 and 999, a sign, and field names with blanks.
func CheckFinal(res *http.Response) error {
	if err := checkFinalStatus(res); err != nil {
		return err
	}
	return checkFields(res.Header)
}

func checkFinalStatus(res *http.Response) error {
	if IsFinalStatus(res.StatusCode) && isWellFormed(res) {
		return nil
	}
	return &InvalidStatusError{Status: res.Status, Proto: res.Proto}
}

// checkStatus is checkFinalStatus, but also accepts interim responses.
func checkStatus(res *http.Response) error {
	if res.StatusCode/100 == 1 && isWellFormed(res) {
		return nil
	}
	return checkFinalStatus(res)
}

// isWellFormed reports whether the version is one of HTTP/1 and the status has three digits.
func isWellFormed(res *http.Response) bool {
	return (res.Proto == "HTTP/1.1" || res.Proto == "HTTP/1.0") && len(res.Status) >= 3 && areDigits([]byte(res.Status[:3]))
}
