//! Tests of the arithmetic of resource amounts.

use catkin_types::Resources;

#[test]
fn fits_agrees_with_saturating_sub() {
    bolero::check!().with_type::<([u64; 3], [u64; 3])>().for_each(|(a, b)| {
        let (a, b) = (Resources::from_array(*a), Resources::from_array(*b));
        assert_eq!(a.fits(&b), a.saturating_sub(&b).is_zero());
        assert!(a.min(&b).fits(&a) && a.fits(&a.max(&b)));
    });
}
