package cli

import (
	"fmt"
	"log/slog"

	"github.com/spf13/cobra"

	"oakthread/internal/config"
	"oakthread/internal/daemon"
	"oakthread/webhook"
)

// addServe sets up a command to run the dispatcher, and adds the flags for it.
func addServe(command *cobra.Command, env Env) {
	configPath := command.Flags().String("config", "",
		"dispatcher's configuration file, such as deploy/oakthread.toml; empty: everything it configures is off")
	webhooksPath := command.Flags().String("webhooks", "",
		"configuration file of the webhook server only, such as deploy/webhooks.toml")
	command.RunE = func(c *cobra.Command, _ []string) error {
		options, err := daemonOptions(env, *configPath, *webhooksPath)
		if err != nil {
			return err
		}
		return daemon.Run(c.Context(), options)
	}
}

// daemonOptions reads the configuration files. The webhook server is configured by a section of the
// file at configPath or by the file at webhooksPath, not by both.
func daemonOptions(env Env, configPath, webhooksPath string) (options daemon.Options, err error) {
	options = daemon.Options{
		Getenv: env.Getenv, ReloadSignals: env.ReloadSignals, Log: env.Log, SharedProcess: env.SharedProcess,
	}
	if configPath != "" {
		if options.ConfigFile, err = config.Read(configPath); err != nil {
			return options, err
		}
		options.Webhooks = options.ConfigFile.Webhooks
	}
	if webhooksPath != "" {
		if options.Webhooks != nil {
			return options, usageError{fmt.Errorf("--webhooks excludes section webhooks of %s", configPath)}
		}
		if options.Webhooks, err = webhook.ReadOptions(webhooksPath); err != nil {
			return options, err
		}
	}
	if options.Log == nil {
		options.Log = slog.New(options.ConfigFile.Handler(env.Err))
	}
	return options, nil
}
