package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const (
	adminPrefix = "/_admin/"
	faultsPath  = adminPrefix + "faults"
	statsPath   = adminPrefix + "stats"
)

func (p *Platform) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == faultsPath && r.Method == http.MethodPut:
		var f PlatformFaults
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		switch f.Down {
		case "", DownStatus, DownClose, DownHang:
		default:
			http.Error(w, fmt.Sprintf("down is %q; state %s, %s, %s or nothing", f.Down, DownStatus, DownClose, DownHang), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
		writeJSON(w, p.Faults())
	case r.URL.Path == faultsPath && r.Method == http.MethodGet:
		writeJSON(w, p.Faults())
	case r.URL.Path == statsPath && r.Method == http.MethodGet:
		writeJSON(w, p.Stats())
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the client disconnected
}

// PutPlatformFaults sets the faults of the Platform served at baseURL over its admin
// endpoint. Any response status other than 200 is returned as an error.
func PutPlatformFaults(ctx context.Context, baseURL string, f PlatformFaults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, baseURL+faultsPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10)) // best effort: the status is reported without a body too
		return fmt.Errorf("fake platform: set faults: status %d: %s", response.StatusCode, message)
	}
	return nil
}
