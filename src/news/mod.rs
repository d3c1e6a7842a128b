pub mod askers;
pub mod delta;
pub mod home;
pub mod past;
pub mod reader;
pub use home::News;
pub use reader::Reader;
