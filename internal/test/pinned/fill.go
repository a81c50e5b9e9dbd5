package pinned

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Fill sets every exported field of the value that target points to, at any depth, to a distinct non-zero value: texts and
// ascending numbers, true for booleans, and one element in each list and map. Values of the same type are always filled
// identically. Interfaces remain nil.
func Fill(target any) {
	filler := filler{}
	filler.fill(reflect.ValueOf(target).Elem())
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// filler counts the values that it has produced.
type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(value reflect.Value) {
	if value.Type() == rawMessage {
		value.SetBytes([]byte(fmt.Sprintf(`{"raw":%d}`, f.next())))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("text%d", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.next()) + 0.5)
	default:
		f.fillComposite(value)
	}
}

func (f *filler) fillComposite(value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		f.fill(value.Index(0))
	case reflect.Array:
		for position := range value.Len() {
			f.fill(value.Index(position))
		}
	case reflect.Map:
		f.fillMap(value)
	case reflect.Struct:
		f.fillStruct(value)
	}
}

func (f *filler) fillMap(value reflect.Value) {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}

func (f *filler) fillStruct(value reflect.Value) {
	for position := range value.NumField() {
		if field := value.Field(position); field.CanSet() {
			f.fill(field)
		}
	}
}
