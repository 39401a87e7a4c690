package fake

import (
	"bytes"
	"net/http"
	"strings"
)

// serveS3 serves PutObject and GetObject with path-style URLs (/bucket/key).
func (p *Platform) serveS3(r *http.Request, body []byte) response {
	bucket, key, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok || bucket == "" || key == "" {
		return errorResponse(r, http.StatusNotImplemented, "NotImplemented", "only objects are served")
	}
	if r.Header.Get("Authorization") == "" {
		return errorResponse(r, http.StatusForbidden, "AccessDenied", "the request is not signed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := bucket + "/" + key
	switch r.Method {
	case http.MethodPut:
		if strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
			return errorResponse(r, http.StatusNotImplemented, "NotImplemented", "chunked signatures are not served")
		}
		p.stats.Writes++
		p.objects[name] = bytes.Clone(body)
		return response{status: http.StatusOK, header: http.Header{"Etag": {`"stand-in"`}}}
	case http.MethodGet:
		p.stats.Reads++
		object, found := p.objects[name]
		if !found {
			return errorResponse(r, http.StatusNotFound, "NoSuchKey", "the object does not exist")
		}
		return response{status: http.StatusOK, header: http.Header{"Content-Type": {"application/octet-stream"}}, body: object}
	}
	return errorResponse(r, http.StatusMethodNotAllowed, "MethodNotAllowed", "the method is not served")
}
