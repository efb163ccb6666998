package setting

import (
	"errors"
	"testing"

	"turmericgap/finding"
)

// Whatever a settings file holds, it gives findings with places, or settings that Check passes again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"id":"s","vm":"v","zone":"z","zones":["z"],"rpcAddress":"127.0.0.1:1","store":{"kind":"etcd","endpoint":"e"},"listAddress":"l"}`,
		`{"zone":"z","zones":["z","z"],"logLevel":"loud","shutdownMillis":-1}`, `{"zones":{}}`, `{"x":1}`, `{`, `[]`, `null`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := DefaultProcess()
		err := Decode(raw, &p, p.Check)
		var l finding.List
		if err != nil && !errors.As(err, &l) {
			t.Fatalf("not a list of findings: %v", err)
		}
		for _, x := range l {
			if x.Path == "" || x.Reason == "" {
				t.Fatalf("finding without place or reason: %q", x)
			}
		}
		var again finding.List
		if p.Check(&again); err == nil && len(again) > 0 {
			t.Fatalf("accepted settings have findings: %v", again)
		}
	})
}
