package configuration

import (
	"encoding/json"
	"sort"
)

// revisionSection is the member of a document that holds its revision.
const revisionSection = "revision"

// Patch is a change of a configuration: items to add or replace, and names of items to remove, by section.
type Patch struct {
	Revision json.RawMessage            `json:"revision"`
	Upsert   map[string]json.RawMessage `json:"upsert"`
	Remove   map[string][]string        `json:"remove"`
}

// sections returns the names of the changed sections, sorted.
func (p Patch) sections() []string {
	names := make([]string, 0, len(p.Upsert)+len(p.Remove))
	for section := range p.Upsert {
		names = append(names, section)
	}
	for section := range p.Remove {
		if _, listed := p.Upsert[section]; !listed {
			names = append(names, section)
		}
	}
	sort.Strings(names)
	return names
}

// ApplyPatch returns the document after a patch, without validating it. Members that the patch does not name are preserved
// byte for byte. The error is of kind apierror.InvalidConfiguration if the patch cannot be decoded.
func ApplyPatch(document, change []byte) ([]byte, error) {
	patch, err := parsePatch(change)
	if err != nil {
		return nil, err
	}
	result := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &result); err != nil {
			return nil, err
		}
	}
	result[revisionSection] = patch.Revision
	for _, section := range patch.sections() {
		merged, err := mergeSection(section, result[section], patch.Upsert[section], patch.Remove[section])
		if err != nil {
			return nil, err
		}
		result[section] = merged
	}
	return json.Marshal(result)
}

// parsePatch decodes a patch, which must have a revision.
func parsePatch(change []byte) (Patch, error) {
	var patch Patch
	if err := json.Unmarshal(change, &patch); err != nil {
		return patch, invalid("patch cannot be read: %s", err.Error())
	}
	if len(patch.Revision) == 0 {
		return patch, invalid("revision is missing")
	}
	return patch, nil
}

// mergeSection returns a section after adding or replacing items by name and then removing items. A section that is not a
// list of named items can only be replaced entirely.
func mergeSection(section string, present, upsert json.RawMessage, remove []string) (json.RawMessage, error) {
	items, err := parseNamedItems(section, present)
	if err != nil {
		if len(upsert) > 0 && len(remove) == 0 {
			return upsert, nil
		}
		return nil, err
	}
	added, err := parseNamedItems(section, upsert)
	if err != nil {
		if len(remove) == 0 && len(items) == 0 {
			return upsert, nil
		}
		return nil, err
	}
	positions := make(map[string]int, len(items))
	for position, item := range items {
		positions[item.name] = position
	}
	for _, item := range added {
		if position, known := positions[item.name]; known {
			items[position] = item
			continue
		}
		positions[item.name] = len(items)
		items = append(items, item)
	}
	removed := make(map[string]bool, len(remove))
	for _, name := range remove {
		removed[name] = true
	}
	remaining := make([]json.RawMessage, 0, len(items))
	for _, item := range items {
		if !removed[item.name] {
			remaining = append(remaining, item.content)
		}
	}
	return json.Marshal(remaining)
}

// namedItem is an item of a section.
type namedItem struct {
	name    string
	content json.RawMessage
}

// parseNamedItems splits a section into its items, each of which must have a name.
func parseNamedItems(section string, list json.RawMessage) ([]namedItem, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var contents []json.RawMessage
	if err := json.Unmarshal(list, &contents); err != nil {
		return nil, invalid("%s is no list", section)
	}
	items := make([]namedItem, len(contents))
	for position, content := range contents {
		var label struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(content, &label); err != nil || label.Name == "" {
			return nil, invalid("%s[%d]: name is missing", section, position)
		}
		items[position] = namedItem{label.Name, content}
	}
	return items, nil
}
