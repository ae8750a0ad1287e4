// Package webhook is the front for signed webhooks, inbound and outbound, after the Standard
// Webhooks specification (https://www.standardwebhooks.com).
//
// Inbound, a Receiver verifies a message, writes its receipt to the state file, has the core
// execute the call once and answers every later delivery from the receipt. Outbound, a Notifier
// queues a notification of each completion in the state file and delivers it with backoff until the
// operator's endpoint accepts it.
package webhook
