//! Task ids.

use catkin_types::TaskId;

#[test]
fn a_task_id_reads_back() {
    bolero::check!().with_type::<(u64, u32)>().for_each(|(job, index)| {
        let id = TaskId::new(*job, *index);
        assert_eq!(id.to_string().parse(), Ok(id));
        let json = serde_json::to_string(&id).expect("JSON");
        assert_eq!(serde_json::from_str::<TaskId>(&json).expect("JSON"), id);
    });
}

#[test]
fn any_text_is_read_or_refused() {
    bolero::check!().with_type::<String>().for_each(|text| drop(text.parse::<TaskId>()));
}
