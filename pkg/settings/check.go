package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62})$`)

// check validates all settings and returns the joined errors.
func check(s Settings) error {
	return errors.Join(
		checkName("instance", s.Instance),
		checkName("failure_domain", s.FailureDomain),
		checkName("region", s.Region),
		checkListen(s.Listen),
		checkFile("tls.ca", s.TLS.CA),
		checkFile("tls.certificate", s.TLS.Certificate),
		checkFile("tls.key", s.TLS.Key),
		checkCallerTLS(s.CallerTLS),
		checkPlatform(s.Platform),
		checkPeers(s),
		checkPolicy(s),
	)
}

func checkName(field, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	return invalid(field, fmt.Sprintf("%q is not a valid name", value),
		"use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit")
}

func checkListen(l Listen) error {
	fields := []struct{ name, value, protocol string }{
		{"listen.callers", l.Callers, "tcp"},
		{"listen.peers", l.Peers, "tcp"},
		{"listen.control", l.Control, "udp"},
		{"listen.operators", l.Operators, "tcp"},
		{"listen.announce", l.Announce, "tcp"},
		{"listen.metrics", l.Metrics, "tcp"},
	}
	var errs []error
	used := map[string]string{}
	for _, f := range fields {
		address, err := parseAddress(f.name, f.value)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		key := f.protocol + address.String()
		if earlier, ok := used[key]; ok {
			errs = append(errs, invalid(f.name, "the address is already used by "+earlier, "give each listener its own port"))
		}
		used[key] = f.name
		if f.name == "listen.announce" && !address.Addr().IsLoopback() {
			errs = append(errs, invalid(f.name, "the address is reachable from other machines", "use a loopback address such as 127.0.0.1"))
		}
		if (f.name == "listen.peers" || f.name == "listen.control") && address.Addr().IsUnspecified() {
			errs = append(errs, invalid(f.name, "peers cannot connect to an unspecified address", "use the IP address of this instance"))
		}
	}
	return errors.Join(errs...)
}

func parseAddress(field, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return address, invalid(field, fmt.Sprintf("%q is not an IP address with a port", value), "write it as 127.0.0.1:8080")
	}
	return address, nil
}

func checkFile(field, path string) error {
	if path == "" {
		return invalid(field, "the path is empty", "set the path of a PEM file; corianderctl keys creates them")
	}
	info, err := os.Stat(path)
	if err != nil || info.IsDir() {
		return invalid(field, fmt.Sprintf("%q is not a readable file", path), "create it with corianderctl keys or correct the path")
	}
	return nil
}

func checkCallerTLS(pair *KeyPair) error {
	if pair == nil {
		return nil
	}
	return errors.Join(
		checkFile("caller_tls.certificate", pair.Certificate),
		checkFile("caller_tls.key", pair.Key),
	)
}

func checkPlatform(p Platform) error {
	var errs []error
	for field, value := range map[string]string{"platform.table": p.Table, "platform.bucket": p.Bucket, "platform.region": p.Region} {
		if value == "" {
			errs = append(errs, invalid(field, "the value is empty", "set the name that the platform uses"))
		}
	}
	for field, value := range map[string]string{"platform.table_endpoint": p.TableEndpoint, "platform.object_endpoint": p.ObjectEndpoint} {
		u, err := url.Parse(value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			errs = append(errs, invalid(field, fmt.Sprintf("%q is not a URL", value), "write it as https://host:port"))
		}
	}
	if t := time.Duration(p.RequestTimeout); t < 100*time.Millisecond || t > time.Minute {
		errs = append(errs, invalid("platform.request_timeout", t.String()+" is out of range", "use a value from 100ms to 1m"))
	}
	errs = append(errs, checkFile("platform.credentials_file", p.CredentialsFile))
	return errors.Join(errs...)
}

func checkPeers(s Settings) error {
	var errs []error
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if _, err := parseAddress(field, peer); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func checkPolicy(s Settings) error {
	var errs []error
	if r := s.Moves.FalseAlarmRate; !(r > 0 && r <= 0.1) {
		errs = append(errs, invalid("moves.false_alarm_rate", fmt.Sprintf("%g is out of range", r), "use a value above 0 and up to 0.1"))
	}
	if t := time.Duration(s.DrainTimeout); t < time.Second || t > 10*time.Minute {
		errs = append(errs, invalid("drain_timeout", t.String()+" is out of range", "use a value from 1s to 10m"))
	}
	if s.LogVerbosity < 0 || s.LogVerbosity > 10 {
		errs = append(errs, invalid("log_verbosity", fmt.Sprintf("%d is out of range", s.LogVerbosity), "use a value from 0 to 10"))
	}
	return errors.Join(errs...)
}
