package controller_test

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

type protoMessage = proto.Message

func protoCopy(into, from proto.Message) {
	proto.Reset(into)
	proto.Merge(into, from)
}

func durationOf(value time.Duration) *durationpb.Duration { return durationpb.New(value) }
