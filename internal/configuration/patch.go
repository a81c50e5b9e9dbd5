package configuration

import (
	"encoding/json"
	"sort"
)

// Patch is a change of a configuration: items to add or replace and names to remove, by section.
type Patch struct {
	Revision json.RawMessage            `json:"revision"`
	Upsert   map[string]json.RawMessage `json:"upsert"`
	Remove   map[string][]string        `json:"remove"`
}

// ApplyPatch returns document with the change made to it, unchecked. Errors are of kind
// apierror.InvalidConfiguration when the change cannot be read.
func ApplyPatch(document, change []byte) ([]byte, error) {
	var patch Patch
	if err := json.Unmarshal(change, &patch); err != nil {
		return nil, invalid("patch cannot be read: %s", err.Error())
	}
	if len(patch.Revision) == 0 {
		return nil, invalid("revision is missing")
	}
	result := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &result); err != nil {
			return nil, err
		}
	}
	result["revision"] = patch.Revision
	sections := map[string]bool{}
	for section := range patch.Upsert {
		sections[section] = true
	}
	for section := range patch.Remove {
		sections[section] = true
	}
	ordered := make([]string, 0, len(sections))
	for section := range sections {
		ordered = append(ordered, section)
	}
	sort.Strings(ordered)
	for _, section := range ordered {
		merged, err := mergeSection(section, result[section], patch.Upsert[section], patch.Remove[section])
		if err != nil {
			return nil, err
		}
		result[section] = merged
	}
	return json.Marshal(result)
}

func mergeSection(section string, present, upsert json.RawMessage, remove []string) (json.RawMessage, error) {
	items, names, err := parseNamedItems(section, present)
	if err != nil {
		if len(upsert) > 0 && len(remove) == 0 {
			return upsert, nil
		}
		return nil, err
	}
	added, addedNames, err := parseNamedItems(section, upsert)
	if err != nil {
		if len(remove) == 0 && len(items) == 0 {
			return upsert, nil
		}
		return nil, err
	}
	positions := make(map[string]int, len(names))
	for position, name := range names {
		positions[name] = position
	}
	removed := make(map[string]bool, len(remove))
	for _, name := range remove {
		removed[name] = true
	}
	for index, item := range added {
		if position, known := positions[addedNames[index]]; known {
			items[position] = item
			continue
		}
		positions[addedNames[index]] = len(items)
		items = append(items, item)
		names = append(names, addedNames[index])
	}
	remaining := make([]json.RawMessage, 0, len(items))
	for position, item := range items {
		if !removed[names[position]] {
			remaining = append(remaining, item)
		}
	}
	return json.Marshal(remaining)
}

func parseNamedItems(section string, list json.RawMessage) ([]json.RawMessage, []string, error) {
	if len(list) == 0 {
		return nil, nil, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(list, &items); err != nil {
		return nil, nil, invalid("%s is no list", section)
	}
	names := make([]string, len(items))
	for position, item := range items {
		var label struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(item, &label); err != nil || label.Name == "" {
			return nil, nil, invalid("%s[%d]: name is missing", section, position)
		}
		names[position] = label.Name
	}
	return items, names, nil
}
