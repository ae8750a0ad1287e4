// Package platform is the thin front for the platform's own protocol: configuration, clients, executors, the
// command channel and datagrams between dispatchers.
package platform
