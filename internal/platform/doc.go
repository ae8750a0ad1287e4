// Package platform implements the platform's protocol: it reads the configuration file, serves
// clients over HTTP/1.1, sends attempts to executors, follows the endpoint list on the command
// channel and exchanges datagrams with other dispatchers. It translates between the wire and
// package oakthread, which makes all dispatching decisions. On the wire a worker is called an
// executor.
package platform
