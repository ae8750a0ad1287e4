package cli

import (
	"fmt"
	"log/slog"

	"github.com/spf13/cobra"

	"oakthread/internal/config"
	"oakthread/internal/daemon"
	"oakthread/webhook"
)

// addServe has a command run the dispatcher, with the flags for it.
func addServe(command *cobra.Command, env Env) {
	configPath := command.Flags().String("config", "",
		"dispatcher's configuration file, such as deploy/oakthread.toml; empty: all of its parts are off")
	webhooksPath := command.Flags().String("webhooks", "",
		"configuration file of the webhook front alone, as in deploy/webhooks.toml")
	command.RunE = func(c *cobra.Command, _ []string) error {
		options, err := daemonOptions(env, *configPath, *webhooksPath)
		if err != nil {
			return err
		}
		return daemon.Run(c.Context(), options)
	}
}

// daemonOptions reads the configuration files. The webhook front is configured by a section of
// configPath or by webhooksPath, not by both.
func daemonOptions(env Env, configPath, webhooksPath string) (options daemon.Options, err error) {
	options = daemon.Options{
		Getenv: env.Getenv, ReloadSignals: env.Hup, Log: env.Log, SharedProcess: env.SharedProcess,
	}
	if configPath != "" {
		if options.File, err = config.Read(configPath); err != nil {
			return options, err
		}
		options.Webhooks = options.File.Webhooks
	}
	if webhooksPath != "" {
		if options.Webhooks != nil {
			return options, usageError{fmt.Errorf("--webhooks and section webhooks of %s: one of them", configPath)}
		}
		if options.Webhooks, err = webhook.ReadOptions(webhooksPath); err != nil {
			return options, err
		}
	}
	if options.Log == nil {
		options.Log = slog.New(options.File.Handler(env.Err))
	}
	return options, nil
}
