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

// MaxBytes limits the size of a settings file.
const MaxBytes = 1 << 20

// Load decodes the file at path into out, rejects unknown fields, and then collects findings with check.
func Load(path string, out any, check func(*finding.List)) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open settings")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxBytes))
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Decode(raw, out, check)
}

// Decode decodes JSON into out, rejects unknown fields, and then collects findings with check.
func Decode(raw []byte, out any, check func(*finding.List)) error {
	var l finding.List
	checkUnknownFields(&l, raw, out)
	if err := json.Unmarshal(raw, out); err != nil {
		l.Add(errorPath(raw, err), "%s", errorReason(err))
		return l.Err()
	}
	check(&l)
	return l.Err()
}

// unknownFieldPrefix starts the error of encoding/json for an unknown field, which only a Decoder reports.
const unknownFieldPrefix = "json: unknown field "

func checkUnknownFields(l *finding.List, raw []byte, out any) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		if name, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
			l.Add(strings.Trim(name, `"`), "is not a known field")
		}
	}
}

// errorPath returns the field or line of a decoding error.
func errorPath(raw []byte, err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return typeErr.Field
	case errors.As(err, &syntaxErr):
		offset := min(int(syntaxErr.Offset), len(raw))
		return "line " + strconv.Itoa(1+bytes.Count(raw[:offset], []byte("\n")))
	default:
		return "settings"
	}
}

func errorReason(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "must be of type " + typeErr.Type.String() + ", not " + typeErr.Value
	}
	return err.Error()
}

// CheckAddress adds a finding unless value is an IP address and a port.
func CheckAddress(l *finding.List, path, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		l.Add(path, "must be an IP number and port, such as 127.0.0.1:7000")
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		l.Add(path, "port must be from 0 to 65535")
	}
}

// CheckRange adds a finding unless value is from minValue to maxValue.
func CheckRange(l *finding.List, path string, value, minValue, maxValue int64) {
	if value < minValue || value > maxValue {
		l.Add(path, "must be from %d to %d", minValue, maxValue)
	}
}

// Millis converts a setting in milliseconds to a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
