// Package platform speaks the platform's own protocol: it reads the configuration file, serves clients
// over HTTP/1.1, carries attempts to executors, follows the endpoint list on the command channel and
// exchanges datagrams with other dispatchers. It translates between the wire and package oakthread, where
// all decisions are made. On the wire a worker is called an executor.
package platform
