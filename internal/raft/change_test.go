package raft

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"sumachead/api/wire"
)

func TestWithLearner(t *testing.T) {
	a := &wire.Member{Id: "a", Incarnation: "1", Address: "host-a:1"}
	b := &wire.Member{Id: "b", Incarnation: "1", Address: "host-b:1"}
	replacement := &wire.Member{Id: "a", Incarnation: "2", Address: "host-a:2"}
	learner := &wire.Member{Id: "a", Incarnation: "2", Address: "host-a:2", Learner: true}
	for _, c := range []struct {
		name string
		ms   []*wire.Member
		m    *wire.Member
		want *wire.Members
	}{
		{"a new member", []*wire.Member{b}, replacement, &wire.Members{Members: []*wire.Member{b, learner}}},
		{"a new incarnation of a voter", []*wire.Member{a, b}, replacement, &wire.Members{Members: []*wire.Member{b, learner}}},
		{"an existing member", []*wire.Member{a, b}, a, nil},
		{"an existing learner", []*wire.Member{b, learner}, replacement, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			ms := &wire.Members{Members: c.ms}
			before := proto.CloneOf(ms)
			if d := cmp.Diff(c.want, WithLearner(ms, c.m), protocmp.Transform()); d != "" {
				t.Errorf("members (-want +got):\n%s", d)
			}
			if d := cmp.Diff(before, ms, protocmp.Transform()); d != "" {
				t.Errorf("the argument was modified (-want +got):\n%s", d)
			}
		})
	}
}

func TestWithoutMember(t *testing.T) {
	a, b := &wire.Member{Id: "a", Incarnation: "1"}, &wire.Member{Id: "b", Incarnation: "1"}
	ms := &wire.Members{Members: []*wire.Member{a, b}}
	for _, c := range []struct {
		id   string
		want *wire.Members
	}{
		{"a", &wire.Members{Members: []*wire.Member{b}}},
		{"c", &wire.Members{Members: []*wire.Member{a, b}}},
	} {
		if d := cmp.Diff(c.want, WithoutMember(ms, c.id), protocmp.Transform()); d != "" {
			t.Errorf("without member %s (-want +got):\n%s", c.id, d)
		}
	}
	if len(ms.GetMembers()) != 2 {
		t.Errorf("the argument was modified: %v", ms)
	}
}
