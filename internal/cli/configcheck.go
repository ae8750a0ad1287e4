package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oakthread/internal/config"
)

// newConfigCommand returns the commands for the dispatcher's configuration file.
func newConfigCommand() *cobra.Command {
	group := NewGroup("config", "Inspect the dispatcher's configuration file")
	group.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file and show what it turns on",
		Args:  Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return checkConfig(c.OutOrStdout(), args[0])
		},
	})
	return group
}

// checkConfig reads the configuration file at path and prints which parts it turns on.
func checkConfig(out io.Writer, path string) error {
	f, err := config.Read(path)
	if err != nil {
		return err
	}
	var list, http2, webhooks string
	if f.EndpointCache != nil {
		list = fmt.Sprintf(", kept in %s", f.EndpointCache.Path)
	}
	if f.HTTP2 != nil {
		http2 = fmt.Sprintf(", at %s", f.HTTP2.Listen)
	}
	if f.Webhooks != nil {
		webhooks = fmt.Sprintf(", at %s, %d operators", f.Webhooks.Listen, len(f.Webhooks.Operators))
	}
	fmt.Fprintf(out, "%s is sound\n", path)
	fmt.Fprintf(out, "  list      %s%s\n", onOff(f.EndpointCache != nil), list)
	fmt.Fprintf(out, "  http2     %s%s\n", onOff(f.HTTP2 != nil), http2)
	fmt.Fprintf(out, "  webhooks  %s%s\n", onOff(f.Webhooks != nil), webhooks)
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
