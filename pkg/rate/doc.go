// Package rate keeps the request rates of workspaces over all instances together.
//
// A fixed share of a limit for each instance refuses ordinary requests, because most workspaces send less than one
// request a second to an instance. A burst for each instance exceeds the limit. Tokens are therefore lent: one
// instance, the lender, has the only token bucket of a workspace, and the others borrow from it, on demand or shortly
// beforehand. An instance that does not reach the lender uses its own share of the limit, by which the lender then
// reduces what it lends.
//
// Lender and Borrower are state machines that take the time as an argument; Service connects them to the other
// instances. The page docs/design/request-rates.md has the argument why no window exceeds the limit, and spec/rate
// the model of the protocol.
package rate
