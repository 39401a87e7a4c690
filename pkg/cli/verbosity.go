package cli

import (
	"flag"
	"strconv"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
)

// SetLogVerbosity sets the verbosity of klog, as its flag -v does.
func SetLogVerbosity(v int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(v)); err != nil {
		return oops.Wrapf(err, "set the log verbosity to %d", v)
	}
	return nil
}
