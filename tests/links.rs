use spindledock::daemon::peer_queue::PeerQueue;
use spindledock::kernel::lanes::{Class, Lane};
use spindledock::kernel::time::{Span, Time};

const PLAIN: Class = Class::droppable(Lane::Serving);

#[test]
fn given_a_peer_that_takes_nothing_when_letters_pile_up_then_the_oldest_go_first_and_memory_is_bounded() {
    for lane in [Lane::Chain, Lane::Serving, Lane::Deferrable] {
        let queue = PeerQueue::default();
        let now = Time(5_000_000);
        let lost: u64 =
            (0..1000u32).map(|n| queue.add(now, Class::kept(lane), n.to_le_bytes().to_vec())).sum();
        assert_eq!(lost, 744);
        assert_eq!(queue.next(now).0, Some(744u32.to_le_bytes().to_vec()));
    }
}

#[test]
fn given_a_letter_kept_for_over_two_seconds_when_the_peer_is_back_then_only_newer_ones_go_out() {
    let queue = PeerQueue::default();
    queue.add(Time(1_000_000), PLAIN, vec![1]);
    queue.add(Time(2_900_000), PLAIN, vec![2]);
    assert_eq!(queue.next(Time(1_000_000) + Span::ms(2001)), (Some(vec![2]), 1));
    assert_eq!(queue.next(Time(4_000_000)), (None, 0));
}

#[test]
fn given_bulk_that_waits_for_a_peer_when_a_message_of_the_chain_is_sent_then_it_goes_out_first() {
    let queue = PeerQueue::default();
    let now = Time(5_000_000);
    let lost: u64 = (0..200).map(|_| queue.add(now, Class::droppable(Lane::Deferrable), vec![1])).sum();
    assert_eq!(lost, 0);
    queue.add(now, Class::kept(Lane::Chain), vec![2]);
    assert_eq!(queue.next(now).0, Some(vec![2]));
}
