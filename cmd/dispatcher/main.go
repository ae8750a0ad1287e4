// Command dispatcher runs the dispatcher as a daemon. Package cli defines its command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oakthread/internal/cli"
)

func main() {
	// Catch SIGHUP first: an uncaught SIGHUP terminates the process, even during startup.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	env := cli.Env{Getenv: os.Getenv, ReloadSignals: hup, Out: os.Stdout, Err: os.Stderr}
	err := cli.Run(ctx, env, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "oakthread:", err)
	}
	os.Exit(cli.ExitCode(err))
}
