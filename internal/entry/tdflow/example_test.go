package tdflow_test

import (
	"fmt"
	"time"

	"tarragondeal/internal/entry/tdflow"
)

func ExampleNext() {
	broken := tdflow.State{
		Failure: tdflow.FailCrashed, Idempotent: true, Stream: true, Delivered: true,
		Attempts: 1, MaxAttempts: 4, Remaining: time.Second,
	}
	fmt.Println(tdflow.Next(broken) == tdflow.StepResume)
	broken.Resumed = true
	fmt.Println(tdflow.Next(broken) == tdflow.StepRetry)
	broken.Idempotent = false
	fmt.Println(tdflow.Next(broken) == tdflow.StepFail)
	// Output:
	// true
	// true
	// true
}
