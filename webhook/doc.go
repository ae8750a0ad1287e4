// Package webhook receives and sends signed webhooks that follow the Standard Webhooks
// specification (https://www.standardwebhooks.com).
//
// Inbound, a Receiver verifies a message, writes its receipt to the state file, executes the call
// once through the core and answers every later delivery from the receipt. Outbound, a Notifier
// queues a notification of each completion in the state file and delivers it with backoff until the
// operator's endpoint accepts it.
package webhook
