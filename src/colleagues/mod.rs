pub mod card;
mod exchange;
pub mod marks;
pub mod part;
pub mod rendezvous;
pub mod table;
pub use part::Colleagues;
