// Command dispatcher runs the dispatcher as a daemon; package cli has its command line.
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
	// First of all: a SIGHUP that nobody waits for ends a program, also one that is still starting.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := cli.Run(ctx, cli.Env{Getenv: os.Getenv, Hup: hup, Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "oakthread:", err)
	}
	os.Exit(cli.Code(err))
}
