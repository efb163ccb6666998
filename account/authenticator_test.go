package account

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
)

// testConfig returns a version with a public and a protected queue and the accounts given.
func testConfig(version int64, accounts ...job.Account) View {
	c := &job.Config{Version: version, Accounts: accounts, Queues: []job.Queue{
		{Name: "check", Host: "h", Prefix: "/check/"}, {Name: "open", Host: "h", Prefix: "/open/", Public: true},
	}}
	return View{Config: c, Accounts: NewDirectory(accounts)}
}

// Guards against a valid key that is refused, and a removed or unknown one that is served, by a VM that does not know
// that its configuration is old.
func TestAuthenticatorByAgeOfItsView(t *testing.T) {
	old, added := newAccount("kochi", "old"), newAccount("kollam", "added")
	cases := map[string]struct {
		age, maxAge time.Duration
		queue, key  string
		newer       bool // a refresh finds a newer version, in which "old" is removed and "added" is known
		confirms    bool // a refresh confirms the view
		want        string
		wantCode    rpc.Code
		wantRefresh int
	}{
		"known key":                                 {key: "old", want: "kochi"},
		"known key, old view":                       {age: time.Hour, key: "old", want: "kochi"},
		"public queue needs no key":                 {age: time.Hour, queue: "/open/", want: ""},
		"public queue ignores a key":                {queue: "/open/", key: "never", want: ""},
		"no key":                                    {wantCode: rpc.CodeDenied},
		"unknown key, fresh view":                   {key: "added", newer: true, confirms: true, wantCode: rpc.CodeDenied},
		"added key, old view":                       {age: time.Second, key: "added", newer: true, confirms: true, want: "kollam", wantRefresh: 1},
		"unknown key, old view, confirmed":          {age: time.Second, key: "never", confirms: true, wantCode: rpc.CodeDenied, wantRefresh: 1},
		"unknown key, old view, cannot confirm":     {age: time.Second, key: "never", wantCode: rpc.CodeRefused, wantRefresh: 1},
		"strict: known key, fresh view":             {maxAge: 5 * time.Second, age: time.Second, key: "old", want: "kochi"},
		"strict: removed key, old view":             {maxAge: 5 * time.Second, age: 6 * time.Second, key: "old", newer: true, confirms: true, wantCode: rpc.CodeDenied, wantRefresh: 1},
		"strict: known key, old view, confirmed":    {maxAge: 5 * time.Second, age: 6 * time.Second, key: "old", confirms: true, want: "kochi", wantRefresh: 1},
		"strict: known key, old view, unconfirmed":  {maxAge: 5 * time.Second, age: 6 * time.Second, key: "old", wantCode: rpc.CodeRefused, wantRefresh: 1},
		"strict: public queue, old view":            {maxAge: 5 * time.Second, age: time.Hour, queue: "/open/", want: ""},
		"strict: limit shorter than a confirmation": {maxAge: 100 * time.Millisecond, age: 200 * time.Millisecond, key: "old", wantCode: rpc.CodeRefused, wantRefresh: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := testConfig(1, old)
				v.ConfirmedAt = time.Now().Add(-c.age)
				refreshes := 0
				a := &Authenticator{View: func() View { return v }, MaxAge: c.maxAge, Refresh: func(context.Context) {
					refreshes++
					confirmedAt := v.ConfirmedAt
					if c.confirms {
						confirmedAt = time.Now()
					}
					if c.newer {
						v = testConfig(2, added)
					}
					v.ConfirmedAt = confirmedAt
				}}
				path := "/check/1"
				if c.queue != "" {
					path = c.queue + "1"
				}
				q, _, err := a.Queue(t.Context(), time.Now(), "h", path)
				is.NoErr(err)
				got, err := a.Account(t.Context(), time.Now(), q, c.key)
				is.Equal(codeOf(err), c.wantCode)
				is.Equal(got, c.want)
				is.Equal(refreshes, c.wantRefresh)
			})
		})
	}
}

func codeOf(err error) rpc.Code {
	if err == nil {
		return ""
	}
	return rpc.AsFault(err).Code
}

// Guards against a queue that is reported as missing by a VM that has not heard of it yet, and a call that is rejected
// for its key by a VM without any configuration.
func TestQueueByAgeOfItsView(t *testing.T) {
	cases := map[string]struct {
		age             time.Duration
		empty, confirms bool
		path            string
		wantCode        rpc.Code
	}{
		"known":                          {path: "/check/1", age: time.Hour},
		"unknown, fresh view":            {path: "/new/1", wantCode: rpc.CodeNotFound},
		"unknown, old view, confirmed":   {path: "/new/1", age: time.Second, confirms: true, wantCode: rpc.CodeNotFound},
		"unknown, old view, unconfirmed": {path: "/new/1", age: time.Second, wantCode: rpc.CodeRefused},
		"no configuration":               {path: "/check/1", empty: true, wantCode: rpc.CodeRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := testConfig(1)
				if c.empty {
					v = View{}
				}
				v.ConfirmedAt = time.Now().Add(-c.age)
				a := &Authenticator{View: func() View { return v }, Refresh: func(context.Context) {
					if c.confirms {
						v.ConfirmedAt = time.Now()
					}
				}}
				_, _, err := a.Queue(t.Context(), time.Now(), "h", c.path)
				is.Equal(codeOf(err), c.wantCode)
			})
		})
	}
}

// Guards against a VM that seems to go back to an older version: a request for a queue that is new waited for the store for
// 400 ms and was answered by the newer version, a request that arrived meanwhile was answered at once by the earlier one.
func TestRequestThatWaitsIsNotDecidedByLaterVersion(t *testing.T) {
	const slack = 250 * time.Millisecond
	old, added := newAccount("kochi", "old"), newAccount("kollam", "added")
	for name, c := range map[string]struct {
		takes    time.Duration
		applied  time.Duration
		wantCode rpc.Code
	}{
		"found at once":                  {takes: 5 * time.Millisecond, applied: 5 * time.Millisecond},
		"found after a while":            {takes: 400 * time.Millisecond, applied: 120 * time.Millisecond},
		"changed after a longer wait":    {takes: 400 * time.Millisecond, applied: 390 * time.Millisecond, wantCode: rpc.CodeRefused},
		"not changed, confirmed late":    {takes: 400 * time.Millisecond, applied: -time.Hour, wantCode: rpc.CodeDenied},
		"changed just before it arrived": {takes: 400 * time.Millisecond, applied: -time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := testConfig(1, old)
				v.ConfirmedAt = time.Now().Add(-time.Second)
				a := &Authenticator{View: func() View { return v }, ChangeWithin: slack / 2, Refresh: func(context.Context) {
					arrived := time.Now()
					time.Sleep(c.takes)
					accounts := []job.Account{old, added}
					if c.applied == -time.Hour {
						accounts = accounts[:1]
					}
					v = testConfig(2, accounts...)
					v.ConfirmedAt, v.AppliedAt = time.Now(), arrived.Add(c.applied)
				}}
				arrived := time.Now()
				q, _, err := a.Queue(t.Context(), arrived, "h", "/check/1")
				is.NoErr(err)
				_, err = a.Account(t.Context(), arrived, q, "added")
				is.Equal(codeOf(err), c.wantCode)
			})
		})
	}
}
