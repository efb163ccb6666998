package tuple

import "github.com/vmihailenco/msgpack/v5"

// Decode decodes the elements of an array into the given values. Values without an element keep their content, as older
// versions have written fewer elements, and further elements are skipped, as newer ones may write more.
func Decode(d *msgpack.Decoder, into ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return err
	}
	err = d.DecodeMulti(into[:min(n, len(into))]...)
	for i := len(into); err == nil && i < n; i++ {
		err = d.Skip()
	}
	return err
}

// Encode encodes values as one array.
func Encode(e *msgpack.Encoder, values ...any) error {
	if err := e.EncodeArrayLen(len(values)); err != nil {
		return err
	}
	return e.EncodeMulti(values...)
}
