//! Tests of the text and JSON forms of task ids.

use catkin_types::TaskId;

#[test]
fn task_id_round_trips() {
    bolero::check!().with_type::<(u64, u32)>().for_each(|(job, index)| {
        let id = TaskId::new(*job, *index);
        assert_eq!(id.to_string().parse(), Ok(id));
        let json = serde_json::to_string(&id).expect("a task id serializes");
        assert_eq!(
            serde_json::from_str::<TaskId>(&json).expect("a serialized task id deserializes"),
            id
        );
    });
}

#[test]
fn parsing_any_text_does_not_panic() {
    bolero::check!().with_type::<String>().for_each(|text| drop(text.parse::<TaskId>()));
}
