use crate::chain::view::View;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Role {
    Router,
    Controller,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Member {
    pub node: NodeId,
    pub role: Role,
    pub domain: Name,
    pub addr: SocketAddr,
    pub admin: SocketAddr,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Row {
    pub who: Member,
    pub quiet: Span,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Claim {
    pub who: Member,
    pub live: bool,
    pub age: Span,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Mark {
    pub instance: Name,
    pub age: Span,
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct Gossip {
    pub digest: u64,
    pub view_at: ViewNo,
    pub rows: Vec<Claim>,
    pub marks: Vec<Mark>,
    pub view: Option<View>,
}
