package setting

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/finding"
)

// MaxBytes bounds a settings file.
const MaxBytes = 1 << 20

// Load fills into from the file at path, refuses unknown fields, and then asks check for findings.
func Load(path string, into any, check func(*finding.List)) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open settings")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxBytes))
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Decode(raw, into, check)
}

// Decode fills into from JSON, refuses unknown fields, and then asks check for findings.
func Decode(raw []byte, into any, check func(*finding.List)) error {
	var l finding.List
	unknownFields(&l, raw, into)
	if err := json.Unmarshal(raw, into); err != nil {
		l.Add(place(raw, err), "%s", reason(err))
		return l.Err()
	}
	check(&l)
	return l.Err()
}

// unknownField is how encoding/json begins the one error that Unmarshal does not report itself.
const unknownField = "json: unknown field "

func unknownFields(l *finding.List, raw []byte, into any) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		if name, found := strings.CutPrefix(err.Error(), unknownField); found {
			l.Add(strings.Trim(name, `"`), "is not a known field")
		}
	}
}

func place(raw []byte, err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return typeErr.Field
	case errors.As(err, &syntaxErr):
		at := min(int(syntaxErr.Offset), len(raw))
		return "line " + strconv.Itoa(1+bytes.Count(raw[:at], []byte("\n")))
	default:
		return "settings"
	}
}

func reason(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "must be of type " + typeErr.Type.String() + ", not " + typeErr.Value
	}
	return err.Error()
}

// CheckAddress adds a finding unless value is an IP number and a port.
func CheckAddress(l *finding.List, where, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		l.Add(where, "must be an IP number and port, such as 127.0.0.1:7000")
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		l.Add(where, "port must be from 0 to 65535")
	}
}

// CheckRange adds a finding unless value is from least to most.
func CheckRange(l *finding.List, where string, value, least, most int64) {
	if value < least || value > most {
		l.Add(where, "must be from %d to %d", least, most)
	}
}

// Millis turns a setting in milliseconds into a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
