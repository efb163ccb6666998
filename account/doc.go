// Package account decides on behalf of client accounts: who a caller is (Directory, Authenticator), what an account may
// have running (Ledger, Holder), which submissions exceed its rate (Rates), and in which order accounts start (Shares).
// It reports on them (Reports) and performs no I/O.
package account
