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
	// Before anything else, since a SIGHUP that is not caught ends the process, also during its start.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	env := cli.Env{Getenv: os.Getenv, Hup: hup, Out: os.Stdout, Err: os.Stderr}
	err := cli.Run(ctx, env, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "oakthread:", err)
	}
	os.Exit(cli.ExitCode(err))
}
