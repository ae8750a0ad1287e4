package aggregate

import (
	"encoding/binary"
	"math"
)

// Values are encoded in 16 bits: a 12-bit mantissa and a 4-bit exponent to base 2, in units of
// 1/64. The largest value is about 2 million, and the relative error is at most 1 in 4,000.
const (
	mantissaBits = 12
	maxMantissa  = 1<<mantissaBits - 1
	maxExponent  = 15
	valueUnit    = 64 // units per 1
	valueBytes   = 2
)

// encodeValue returns the nearest value of the wire format. Negative numbers and NaN are encoded as
// 0, numbers beyond the range as the largest value.
func encodeValue(x float64) uint16 {
	if !(x > 0) { // also NaN
		return 0
	}
	exponent := uint16(0)
	for x *= valueUnit; x >= maxMantissa+0.5 && exponent < maxExponent; exponent++ {
		x /= 2
	}
	return exponent<<mantissaBits | uint16(math.Min(math.Round(x), maxMantissa))
}

// decodeValue is the inverse of encodeValue.
func decodeValue(v uint16) float64 {
	mantissa, exponent := v&maxMantissa, v>>mantissaBits
	return float64(mantissa) * float64(uint32(1)<<exponent) / valueUnit
}

// appendValues appends the wire format of values.
func appendValues(raw []byte, values []float64) []byte {
	for _, x := range values {
		raw = binary.BigEndian.AppendUint16(raw, encodeValue(x))
	}
	return raw
}
