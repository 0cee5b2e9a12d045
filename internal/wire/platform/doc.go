// Package platform speaks the platform's protocol: lines of text over TCP, with clients on one side and
// servers on the other. The two sides meet only in the Exchange.
package platform
