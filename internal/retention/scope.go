package retention

import (
	"strconv"
	"strings"

	"ferryspar/internal/apierror"
)

// Scope selects the context to drop: that of a model or adapter, that of a prompt part, that of both combined, or all context if
// it is empty.
type Scope struct {
	// Model is "model" or "model/adapter".
	Model string `json:"model,omitempty"`
	// PromptPart is the ID of the prompt part in hexadecimal.
	PromptPart string `json:"part,omitempty"`
}

// Check returns an error of kind apierror.InvalidRetention if the prompt part is not a valid ID.
func (s Scope) Check() error {
	if s.PromptPart == "" {
		return nil
	}
	if _, err := parsePartID(s.PromptPart); err != nil {
		return apierror.New(apierror.InvalidRetention, "part %q is no prompt part id in hex", s.PromptPart)
	}
	return nil
}

// Covers reports whether the scope includes the context of a prompt part for a reference of the form "model" or "model/adapter".
func (s Scope) Covers(reference string, part uint64) bool {
	return s.coversReference(reference) && s.coversPart(part)
}

func (s Scope) coversReference(reference string) bool {
	return s.Model == "" || s.Model == reference || s.Model == modelOf(reference)
}

func (s Scope) coversPart(part uint64) bool {
	if s.PromptPart == "" {
		return true
	}
	id, err := parsePartID(s.PromptPart)
	return err == nil && id == part
}

// CoversModel reports whether replicas must drop context of a model. The scope of an adapter covers its model, too.
func (s Scope) CoversModel(model string) bool {
	base := modelOf(s.Model)
	return base == "" || base == model
}

// modelOf returns the model of a reference of the form "model" or "model/adapter".
func modelOf(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}

func parsePartID(id string) (uint64, error) { return strconv.ParseUint(id, 16, 64) }
