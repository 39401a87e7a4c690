// Package command provides the "sidecar" command, which runs a node on an instance of
// the deployment platform.
package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/sidecar"
	"corianderwood.example/corianderwood/platform"
)

// New returns the "sidecar" command.
func New() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: "sidecar", Short: "Run the node as the sidecar of one server on a platform instance", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				for _, name := range platform.UnknownSettings(path) {
					fmt.Fprintf(cmd.OutOrStdout(), "the field %s is not known to this version and is ignored\n", name)
				}
				return nil
			}
			return run(cmd.Context(), s, path)
		},
	}
	cmd.Flags().StringVar(&path, "platform-settings", os.Getenv(platform.SettingsFileVariable), "settings file of the platform (TOML)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

func run(ctx context.Context, s sidecar.Settings, path string) error {
	logs := sidecar.NewLogWriter()
	logCtx, endLogs := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { logs.Run(logCtx, os.Stdout) })
	defer writer.Wait()
	defer endLogs()
	if err := logTo(logs); err != nil {
		return err
	}
	defer klog.Flush()
	if names := platform.UnknownSettings(path); len(names) > 0 {
		event.SettingsUnknown.Log("fields", strings.Join(names, " "))
	}
	n := sidecar.New(s, sidecar.Deployment{
		Store: platform.NewStore(s.StoreAddress), RowCodec: platform.RowCodec{}, Headers: platform.Headers(),
		ServerNotice: platform.DecodeServerNotice, ParentID: platform.ParentID,
		DroppedLogLines: logs.Dropped,
		Heartbeats:      func(r sidecar.Registrar) http.Handler { return platform.HeartbeatHandler(r) }, Readiness: platform.ReadyHandler,
		Reload: func() (sidecar.Settings, error) { return platform.LoadSettings(path) },
	})
	err := n.Run(ctx)
	if lines := logs.Dropped(); lines > 0 {
		event.LogLinesDropped.Log("lines", lines)
	}
	return err
}

// logTo makes w the only output of klog.
func logTo(w *sidecar.LogWriter) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			return oops.Wrapf(err, "set log option %s", name)
		}
	}
	klog.SetOutput(w)
	return nil
}
