// Package rpctest calls services with random messages. It is used by tests only.
package rpctest

import (
	"math/rand/v2"
	"reflect"
	"sync"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxDepth bounds how deep random messages are nested.
const maxDepth = 4

// Call calls each method of a receiver that net/rpc can serve with n random messages, concurrently, and returns
// how many methods there are. A method that panics ends the process, as it does behind net/rpc.
func Call(receiver any, n int, seed uint64) (methods int) {
	var all sync.WaitGroup
	v := reflect.ValueOf(receiver)
	for i := range v.NumMethod() {
		m := v.Method(i)
		if !isServed(m.Type()) {
			continue
		}
		methods++
		for j := range uint64(n) {
			all.Go(func() {
				r := rand.New(rand.NewPCG(seed, j))
				args := reflect.New(m.Type().In(0).Elem())
				fill(r, args.Interface().(proto.Message).ProtoReflect(), maxDepth)
				m.Call([]reflect.Value{args, reflect.New(m.Type().In(1).Elem())})
			})
		}
	}
	all.Wait()
	return methods
}

// isServed reports whether net/rpc serves methods of a type with messages.
func isServed(t reflect.Type) bool {
	message := reflect.TypeFor[proto.Message]()
	return t.NumIn() == 2 && t.NumOut() == 1 && t.In(0).Implements(message) && t.In(1).Implements(message)
}

// fill sets random fields of a message.
func fill(r *rand.Rand, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case r.IntN(3) == 0 || f.IsMap():
		case f.IsList():
			list := m.NewField(f).List()
			for range r.IntN(4) {
				list.Append(value(r, f, list.NewElement, depth))
			}
			m.Set(f, protoreflect.ValueOfList(list))
		default:
			m.Set(f, value(r, f, func() protoreflect.Value { return m.NewField(f) }, depth))
		}
	}
}

// value returns a random value of a field or of an element of its list.
func value(r *rand.Rand, f protoreflect.FieldDescriptor, empty func() protoreflect.Value, depth int) protoreflect.Value {
	number := []int64{0, 1, -1, 7, 1 << 31, -1 << 63, 1<<63 - 1}[r.IntN(7)]
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		v := empty()
		if depth > 0 {
			fill(r, v.Message(), depth-1)
		}
		return v
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "a", "b", "i-1@5", "10.0.0.1:80", "router", "keeper"}[r.IntN(7)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([][]byte{nil, {}, {1}, make([]byte, 16), make([]byte, 32)}[r.IntN(5)])
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(r.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(int32(number)))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(number)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	default: // 64 bits without a sign
		return protoreflect.ValueOfUint64(uint64(number))
	}
}
