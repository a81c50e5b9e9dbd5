package pinned

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

type sample struct {
	Name  string            `json:"name"`
	Count int               `json:"count,omitempty"`
	Raw   json.RawMessage   `json:"raw,omitempty"`
	Inner *inner            `json:"inner,omitempty"`
	Texts map[string]string `json:"texts,omitempty"`
	List  []inner           `json:"list,omitempty"`
}

type inner struct {
	Ratio float64 `json:"ratio"`
	On    bool    `json:"on"`
}

const sampleGolden = `{"sample": {"zero": {"name":""}, "filled": ` +
	`{"name":"text1","count":2,"raw":{"raw":3},"inner":{"ratio":4.5,"on":true},` +
	`"texts":{"text5":"text6"},"list":[{"ratio":7.5,"on":true}]}}}`

func TestFill_SetsEveryFieldDeterministically(t *testing.T) {
	var first, second sample
	Fill(&first)
	Fill(&second)
	assert.DeepEqual(t, first, second)
	assert.Equal(t, first.Inner.Ratio, 4.5)
	assert.Equal(t, first.Texts["text5"], "text6")
	assert.Equal(t, len(first.List), 1)
}

func TestCompareMessages_FailsOnEveryChangeOfTheJSON(t *testing.T) {
	assert.NilError(t, CompareMessages([]byte(sampleGolden), Messages{"sample": new(sample)}))
	type renamedField struct {
		Title string            `json:"name"`
		Count int               `json:"count,omitempty"`
		Raw   json.RawMessage   `json:"raw,omitempty"`
		Inner *inner            `json:"inner,omitempty"`
		Texts map[string]string `json:"texts,omitempty"`
		List  []inner           `json:"list,omitempty"`
	}
	t.Run("a renamed Go field is accepted", func(t *testing.T) {
		assert.NilError(t, CompareMessages([]byte(sampleGolden), Messages{"sample": new(renamedField)}))
	})
	const short = `{"case": {"zero": {"ratio":0,"on":false}, "filled": {"ratio":1.5,"on":true}}}`
	cases := map[string]any{
		"a changed JSON name": new(struct {
			Ratio float64 `json:"portion"`
			On    bool    `json:"on"`
		}),
		"another order of fields": new(struct {
			On    bool    `json:"on"`
			Ratio float64 `json:"ratio"`
		}),
		"a field left out when empty": new(struct {
			Ratio float64 `json:"ratio"`
			On    bool    `json:"on,omitempty"`
		}),
		"another type of a field": new(struct {
			Ratio string `json:"ratio"`
			On    bool   `json:"on"`
		}),
		"an added field": new(struct {
			Ratio float64 `json:"ratio"`
			On    bool    `json:"on"`
			More  int     `json:"more"`
		}),
		"a removed field": new(struct {
			Ratio float64 `json:"ratio"`
		}),
	}
	assert.NilError(t, CompareMessages([]byte(short), Messages{"case": new(inner)}))
	for name, changed := range cases {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, CompareMessages([]byte(short), Messages{"case": changed}), "differs")
		})
	}
	t.Run("a type that is no longer compared", func(t *testing.T) {
		assert.ErrorContains(t, CompareMessages([]byte(short), Messages{}), "not compared")
	})
	t.Run("a type that is not in the golden file", func(t *testing.T) {
		assert.ErrorContains(t, CompareMessages([]byte(`{}`), Messages{"case": new(inner)}), "case")
	})
}

func TestFormatForms_RoundTrips(t *testing.T) {
	messages := Messages{"sample": new(sample), "other": new(inner)}
	present, err := marshalAll(messages)
	assert.NilError(t, err)
	assert.NilError(t, CompareMessages(formatForms(present), messages))
}
