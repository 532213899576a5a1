// Package rate keeps the request rates of workspaces over all instances together.
//
// A fixed share of a limit for each instance refuses ordinary requests, because most workspaces send less than one
// request a second to an instance. A burst for each instance exceeds the limit. Instances therefore give up their shares
// of the limits to one of them, the lender, and borrow tokens from it, on demand or shortly beforehand. An instance that
// reaches no lender uses its own share.
//
// Lender and Borrower are state machines that take the time as an argument; Service connects them to the other
// instances. The page docs/design/request-rates.md has the argument why no window exceeds the limit, and spec/rate
// the model of the protocol.
package rate
