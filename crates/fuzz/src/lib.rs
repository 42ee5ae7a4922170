//! Stateful fuzzing of the control state machine against a simple oracle.
