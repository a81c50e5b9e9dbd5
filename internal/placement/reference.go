package placement

import "strings"

const (
	// adapterSeparator separates the model from the adapter in a reference.
	adapterSeparator = "/"
	// backendSeparator separates the backend from the reference in a ModelKey.
	backendSeparator = " "
)

// Reference returns the reference of an adapter, model/adapter, or that of the model itself if adapter is empty.
func Reference(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + adapterSeparator + adapter
}

// SplitReference returns the model and the adapter of a reference; the adapter of a model is empty.
func SplitReference(reference string) (model, adapter string) {
	model, adapter, _ = strings.Cut(reference, adapterSeparator)
	return model, adapter
}

// IsAdapter reports whether a reference names an adapter.
func IsAdapter(reference string) bool { return strings.Contains(reference, adapterSeparator) }

// ModelKey returns the key of a backend's reference in View.Demand and View.Loading.
func ModelKey(backend, reference string) string { return backend + backendSeparator + reference }

// SplitModelKey returns the backend and the reference of a ModelKey.
func SplitModelKey(key string) (backend, reference string) {
	backend, reference, _ = strings.Cut(key, backendSeparator)
	return backend, reference
}
